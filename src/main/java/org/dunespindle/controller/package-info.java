/** The wiring of one controller and its main loop. */
package org.dunespindle.controller;

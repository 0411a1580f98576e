/** The components of one controller and its reconciliation loop. */
package org.dunespindle.controller;

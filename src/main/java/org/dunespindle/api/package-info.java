/** The APIs for users and operators, and the boundary to the federation with other cells. */
package org.dunespindle.api;

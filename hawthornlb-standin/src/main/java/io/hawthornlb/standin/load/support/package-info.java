/** Internals of the load tool: arrival times, HTTP calls and checks of results. */
@NullMarked
package io.hawthornlb.standin.load.support;

import org.jspecify.annotations.NullMarked;

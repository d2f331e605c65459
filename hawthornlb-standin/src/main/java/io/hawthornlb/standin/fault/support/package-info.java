/** The controller and the channel handler that bring faults about. */
@NullMarked
package io.hawthornlb.standin.fault.support;

import org.jspecify.annotations.NullMarked;

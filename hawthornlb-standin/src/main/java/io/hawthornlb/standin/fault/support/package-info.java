/** The controller that activates faults and the channel handler that applies them. */
@NullMarked
package io.hawthornlb.standin.fault.support;

import org.jspecify.annotations.NullMarked;

/** The in-memory stores and the controllers of the platform stand-in. */
@NullMarked
package io.hawthornlb.standin.platform.support;

import org.jspecify.annotations.NullMarked;

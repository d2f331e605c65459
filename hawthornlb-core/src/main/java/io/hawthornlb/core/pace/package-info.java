/** Pace of endpoints: how long work takes there, compared with the usual endpoint of a service. */
@NullMarked
package io.hawthornlb.core.pace;

import org.jspecify.annotations.NullMarked;

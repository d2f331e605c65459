/** Stand-ins of the platform, the engines and plain services, and what starts them. */
@NullMarked
package io.hawthornlb.standin;

import org.jspecify.annotations.NullMarked;

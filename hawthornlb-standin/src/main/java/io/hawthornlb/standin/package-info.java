/** Stand-ins of the platform, the engines and plain services. */
@NullMarked
package io.hawthornlb.standin;

import org.jspecify.annotations.NullMarked;

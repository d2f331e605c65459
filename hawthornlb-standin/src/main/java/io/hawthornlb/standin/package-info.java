/** Stand-ins for the platform, model engines and plain services, and the runner of a process. */
@NullMarked
package io.hawthornlb.standin;

import org.jspecify.annotations.NullMarked;

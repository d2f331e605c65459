/** The load tool: scenarios, what came of them and whether promises held. */
@NullMarked
package io.hawthornlb.standin.load;

import org.jspecify.annotations.NullMarked;

/** Instances and endpoints: the lagging list, observation, and what follows from both. */
@NullMarked
package io.hawthornlb.core.membership;

import org.jspecify.annotations.NullMarked;

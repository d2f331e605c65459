/** The fold of the claims, the decider that makes them, and the policies that place partitions. */
@NullMarked
package io.hawthornlb.core.claim.support;

import org.jspecify.annotations.NullMarked;

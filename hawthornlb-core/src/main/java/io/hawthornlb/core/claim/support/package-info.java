/**
 * The fold of the stream of claims, the manager that claims partitions, and the placement of
 * partitions.
 */
@NullMarked
package io.hawthornlb.core.claim.support;

import org.jspecify.annotations.NullMarked;

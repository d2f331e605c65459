/**
 * Ownership of partitions: records that claim, renew and release a partition, and the interfaces to
 * read and manage claims.
 */
@NullMarked
package io.hawthornlb.core.claim;

import org.jspecify.annotations.NullMarked;

/** The fold of a partition's stream, and the opening of the stream by a new holder. */
@NullMarked
package io.hawthornlb.core.partition.support;

import org.jspecify.annotations.NullMarked;

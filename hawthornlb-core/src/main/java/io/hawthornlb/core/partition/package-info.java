/**
 * The stream of one partition: the rules for who may write to it, and the fold that passes valid
 * records to the parts of the partition's state.
 */
@NullMarked
package io.hawthornlb.core.partition;

import org.jspecify.annotations.NullMarked;

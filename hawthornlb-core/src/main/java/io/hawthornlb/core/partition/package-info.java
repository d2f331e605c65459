/** The stream of one partition: who may write to it, and the fold that hands records on. */
@NullMarked
package io.hawthornlb.core.partition;

import org.jspecify.annotations.NullMarked;

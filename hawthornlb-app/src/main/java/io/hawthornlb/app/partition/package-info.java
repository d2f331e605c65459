/** The partitions of an instance: folds, coordinators, and the adapters of their effects. */
@NullMarked
package io.hawthornlb.app.partition;

import org.jspecify.annotations.NullMarked;

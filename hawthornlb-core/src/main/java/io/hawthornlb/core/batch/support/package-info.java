/** Dispatchers of batch items, their queues, and the election of dispatchers. */
@NullMarked
package io.hawthornlb.core.batch.support;

import org.jspecify.annotations.NullMarked;

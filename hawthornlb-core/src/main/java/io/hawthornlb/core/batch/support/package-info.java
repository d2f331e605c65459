/** Stewards and their queue of items. */
@NullMarked
package io.hawthornlb.core.batch.support;

import org.jspecify.annotations.NullMarked;

/** Decides whether, when and where a failed request is retried. */
@NullMarked
package io.hawthornlb.core.retry;

import org.jspecify.annotations.NullMarked;

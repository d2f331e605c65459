/** Decides whether, when and where a failed request is tried again. */
@NullMarked
package io.hawthornlb.core.retry;

import org.jspecify.annotations.NullMarked;

/** Who holds a partition: claims by superseded epoch, renewals and releases. */
@NullMarked
package io.hawthornlb.core.claim;

import org.jspecify.annotations.NullMarked;

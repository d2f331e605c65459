/** What a coordinator has learned about a service, as a snapshot that its successor restores. */
@NullMarked
package io.hawthornlb.core.learned;

import org.jspecify.annotations.NullMarked;

/** Interfaces for messages between entry instances. */
@NullMarked
package io.hawthornlb.core.peer;

import org.jspecify.annotations.NullMarked;

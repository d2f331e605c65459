/** Exchange of messages between entry instances over TCP. */
@NullMarked
package io.hawthornlb.net.peer;

import org.jspecify.annotations.NullMarked;

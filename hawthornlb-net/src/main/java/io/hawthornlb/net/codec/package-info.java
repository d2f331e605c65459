/** MessagePack encoding of log records and peer messages. */
@NullMarked
package io.hawthornlb.net.codec;

import org.jspecify.annotations.NullMarked;

/** HTTP clients whose connections pass on only what is a response. */
@NullMarked
package io.hawthornlb.net.http;

import org.jspecify.annotations.NullMarked;

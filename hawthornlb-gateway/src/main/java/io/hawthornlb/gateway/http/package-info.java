/** Plain HTTP calls from this instance, over kept connections. */
@NullMarked
package io.hawthornlb.gateway.http;

import org.jspecify.annotations.NullMarked;

/** Plain HTTP calls from this instance, over pooled connections. */
@NullMarked
package io.hawthornlb.gateway.http;

import org.jspecify.annotations.NullMarked;

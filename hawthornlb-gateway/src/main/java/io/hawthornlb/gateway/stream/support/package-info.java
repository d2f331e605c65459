/** Bounded memory of where streams began. */
@NullMarked
package io.hawthornlb.gateway.stream.support;

import org.jspecify.annotations.NullMarked;

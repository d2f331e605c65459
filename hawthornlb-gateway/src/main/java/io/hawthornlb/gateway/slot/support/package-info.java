/** Decisions about slots. */
@NullMarked
package io.hawthornlb.gateway.slot.support;

import org.jspecify.annotations.NullMarked;

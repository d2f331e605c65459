/** Collects the evidence of crashes and shares it with the other instances. */
@NullMarked
package io.hawthornlb.gateway.crash.support;

import org.jspecify.annotations.NullMarked;

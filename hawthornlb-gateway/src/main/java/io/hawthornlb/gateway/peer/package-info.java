/** Messages between the gateways of one fleet. */
@NullMarked
package io.hawthornlb.gateway.peer;

import org.jspecify.annotations.NullMarked;

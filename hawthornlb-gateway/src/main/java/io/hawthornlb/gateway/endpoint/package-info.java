/** The list of endpoints as this instance knows it. */
@NullMarked
package io.hawthornlb.gateway.endpoint;

import org.jspecify.annotations.NullMarked;

/** Admission controllers, fair queues, and the exchange of shares of the limits. */
@NullMarked
package io.hawthornlb.core.admission.support;

import org.jspecify.annotations.NullMarked;

/** Admission controllers, fair queues and the exchange of shares. */
@NullMarked
package io.hawthornlb.core.admission.support;

import org.jspecify.annotations.NullMarked;

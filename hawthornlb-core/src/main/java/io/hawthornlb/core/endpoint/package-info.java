/** What is known about endpoints: the lagging list, load reports, and what requests observed. */
@NullMarked
package io.hawthornlb.core.endpoint;

import org.jspecify.annotations.NullMarked;

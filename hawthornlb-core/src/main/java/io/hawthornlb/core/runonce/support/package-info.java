/** State of run-once requests in the log and in memory, and the deciders of holder and entry. */
@NullMarked
package io.hawthornlb.core.runonce.support;

import org.jspecify.annotations.NullMarked;

/** Coordinator and forwarder of run-once requests, with their state in the log and in memory. */
@NullMarked
package io.hawthornlb.core.runonce.support;

import org.jspecify.annotations.NullMarked;

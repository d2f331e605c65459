/** Requests that run at most once: durable intents, their replicas, outcomes and refusals. */
@NullMarked
package io.hawthornlb.core.runonce;

import org.jspecify.annotations.NullMarked;

/** Batch jobs: accepted once, run until each item has a result, and readable at any process. */
@NullMarked
package io.hawthornlb.gateway.job;

import org.jspecify.annotations.NullMarked;

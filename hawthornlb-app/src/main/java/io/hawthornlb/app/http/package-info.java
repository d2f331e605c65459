/** HTTP API for callers and operators: controllers, input validation and problem documents. */
@NullMarked
package io.hawthornlb.app.http;

import org.jspecify.annotations.NullMarked;

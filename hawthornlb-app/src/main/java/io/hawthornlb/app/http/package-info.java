/**
 * What callers and operators see: HTTP controllers, checks of their input and problem documents.
 */
@NullMarked
package io.hawthornlb.app.http;

import org.jspecify.annotations.NullMarked;

/**
 * Enables the log library. It reads this variable once, when it is imported, and
 * drops every line if it is not set, so import this module first.
 */

process.env['ROARR_LOG'] = 'true'

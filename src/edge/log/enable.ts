/**
 * Turns the log library on. It reads this variable once, when it is imported,
 * and drops every line without it; import this module first.
 */

process.env['ROARR_LOG'] = 'true'

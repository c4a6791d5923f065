/** Must be imported before `roarr`, which drops all messages without it. */
process.env.ROARR_LOG = 'true';

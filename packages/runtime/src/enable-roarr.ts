/** Must be imported before `roarr`, which discards messages without this. */
process.env.ROARR_LOG = 'true';

/** Metrics of the daemon. */
export {DaemonMetrics, type DaemonReadings} from './daemon-metrics.js';
export {ImbalanceMeter, type ImbalanceOptions} from './imbalance.js';
export {RequestMeter} from './request-meter.js';
export {UnavailableTime} from './unavailable-time.js';

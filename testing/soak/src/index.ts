/**
 * Soak: gateways as processes under random faults.
 *
 * @packageDocumentation
 */
export {planActions} from './plan.js';
export {runSoak, type SoakOptions, type SoakReport} from './soak.js';

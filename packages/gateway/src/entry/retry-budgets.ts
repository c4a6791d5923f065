/** Limits the retries of this VM, for each service. */
import {RetryBudget} from '@wisteriarun/core';

/** Retry budgets, one for each service. */
export class RetryBudgets {
  readonly #budgets = new Map<string, RetryBudget>();
  #limits = {ratio: 0, slack: 0};

  /**
   * Sets this VM's share of the retry budget of all VMs.
   *
   * @param ratio - Retries allowed as a share of the first attempts.
   * @param slack - Retries allowed in addition to that share.
   */
  setLimits(ratio: number, slack: number): void {
    this.#limits = {ratio, slack};
    for (const budget of this.#budgets.values()) budget.setLimits(this.#limits);
  }

  /**
   * Returns the retry budget of a service.
   *
   * @param service - Name of the service.
   * @returns The budget, created on first use.
   */
  forService(service: string): RetryBudget {
    let budget = this.#budgets.get(service);
    if (budget === undefined) {
      budget = new RetryBudget(this.#limits);
      this.#budgets.set(service, budget);
    }
    return budget;
  }
}

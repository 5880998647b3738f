/** Sums of resources to which amounts are added and from which they are removed again, without accumulated error. */
import type { Resources } from './model.js';

/**
 * A sum of numbers by Neumaier's compensated summation: what each addition rounds off is summed separately. The sum of
 * decimals such as 0.1 therefore does not drift, however many are added and removed.
 */
class CompensatedSum {
  #sum = 0;
  #compensation = 0;

  get value(): number {
    return this.#sum + this.#compensation;
  }

  add(amount: number): void {
    const sum = this.#sum + amount;
    this.#compensation +=
      Math.abs(this.#sum) >= Math.abs(amount) ? this.#sum - sum + amount : amount - sum + this.#sum;
    this.#sum = sum;
  }
}

/** A running sum of each resource. Adding or removing an amount takes constant time. */
export class ResourceSum {
  readonly #cpus = new CompensatedSum();
  readonly #gpus = new CompensatedSum();
  readonly #memoryGb = new CompensatedSum();

  get value(): Resources {
    return { cpus: this.#cpus.value, gpus: this.#gpus.value, memoryGb: this.#memoryGb.value };
  }

  add(amount: Resources): void {
    this.#cpus.add(amount.cpus);
    this.#gpus.add(amount.gpus);
    this.#memoryGb.add(amount.memoryGb);
  }

  remove(amount: Resources): void {
    this.#cpus.add(-amount.cpus);
    this.#gpus.add(-amount.gpus);
    this.#memoryGb.add(-amount.memoryGb);
  }
}

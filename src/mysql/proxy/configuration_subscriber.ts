/**
 * Receives configurations from control machines by long polling: each request names the revision in
 * force here and is answered as soon as there is a newer one.
 */
import { type Clock, type Messenger, type RandomSource, delay } from '../../runtime/runtime.js';
import type { ConfigurationKeeper } from './configuration_keeper.js';

/** Timing of the subscriber, in milliseconds. */
export interface SubscriberOptions {
  /** How long a control machine may hold a request. */
  readonly holdMs: number;
  /** Pause after a failure. */
  readonly retryMs: number;
}

/** Defaults: a cut-off control machine is left within `holdMs` and the allowance. */
const DEFAULT_SUBSCRIBER_OPTIONS: SubscriberOptions = { holdMs: 2000, retryMs: 200 };

const ANSWER_ALLOWANCE_MS = 1000;

/** Subscriber of one proxy. */
export class ConfigurationSubscriber {
  private stopped = false;
  private next: number;

  constructor(
    private readonly node: string,
    private readonly controls: readonly string[],
    private readonly clock: Clock,
    random: RandomSource,
    private readonly messenger: Messenger,
    private readonly keeper: ConfigurationKeeper,
    private readonly checksRevision: boolean,
    private readonly options: SubscriberOptions = DEFAULT_SUBSCRIBER_OPTIONS,
  ) {
    this.next = controls.length === 0 ? 0 : random.integer(0, controls.length - 1);
  }

  /** Starts asking. */
  start(): void {
    if (this.controls.length > 0) void this.run();
  }

  /** Stops asking. */
  stop(): void {
    this.stopped = true;
  }

  private async run(): Promise<void> {
    while (!this.stopped) {
      const control = this.controls[this.next % this.controls.length]!;
      const answered = await this.ask(control);
      // Each control machine is asked in turn: one that was cut off knows nothing new.
      this.next++;
      if (!answered || !this.checksRevision) await delay(this.clock, this.options.retryMs);
    }
  }

  private async ask(control: string): Promise<boolean> {
    const { holdMs } = this.options;
    const knownRevision = this.checksRevision ? this.keeper.revision : 0;
    const request = { watchRequest: { node: this.node, knownRevision, waitMs: holdMs } };
    try {
      const body = await this.messenger.request(control, request, holdMs + ANSWER_ALLOWANCE_MS);
      if (!body.watchReply) return false;
      await this.keeper.accept(body.watchReply);
      return true;
    } catch {
      return false;
    }
  }
}

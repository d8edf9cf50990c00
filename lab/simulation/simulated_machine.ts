/** A simulated machine: its process comes and goes, its disk stays unless it is lost. */
import { hostOf } from '../../src/runtime/address.js';
import type { Runtime } from '../../src/runtime/runtime.js';
import { SeededRandom } from '../../src/runtime/seeded_random.js';
import type { ScheduledEvent, Scheduler } from './scheduler.js';
import { DiskError, type DiskFailures } from './disk_failures.js';
import { VirtualDisk } from './virtual_disk.js';
import { type AddressBook, VirtualMessenger } from './virtual_messenger.js';
import type { VirtualNetwork } from './virtual_network.js';
import { VirtualProcess } from './virtual_process.js';

/** What machines of one simulation share. */
export interface MachineSurroundings {
  readonly scheduler: Scheduler;
  readonly network: VirtualNetwork;
  readonly addresses: AddressBook;
  readonly random: SeededRandom;
  /** After which a connection between processes is given up, in milliseconds; that of the messenger by default. */
  readonly connectTimeoutMs?: number;
  /** Mean time of a sync of a disk, in milliseconds; {@link SYNC_MS} by default. */
  readonly syncMs?: number;
}

const SYNC_MS = 0.5;
const MAXIMUM_SEED = 2 ** 31 - 1;
/** A process that ended by itself is started again after this time, in milliseconds. Guess, not measured. */
const OWN_END_RESTART_MS = 500;

/** A machine whose process can be started, killed, frozen and thawed, and whose disk can be lost. */
export abstract class SimulatedMachine<Shared extends MachineSurroundings = MachineSurroundings> {
  readonly host: string;
  protected process: VirtualProcess | undefined;
  protected readonly disk: VirtualDisk;
  private hasLostDisk = false;
  /** Start that follows an end of the process's own. */
  private restart: ScheduledEvent | undefined;

  protected constructor(
    readonly name: string,
    private readonly messageAddress: string,
    protected readonly surroundings: Shared,
  ) {
    this.host = hostOf(messageAddress);
    this.disk = new VirtualDisk(this.newRandom(), surroundings.syncMs ?? SYNC_MS);
  }

  /** Whether a process runs on this machine, frozen or not. */
  get isUp(): boolean {
    return this.process?.alive ?? false;
  }

  /** Whether its process runs and is not frozen. */
  get isRunning(): boolean {
    return this.process?.running ?? false;
  }

  /** Starts the process unless it runs. */
  start(): void {
    this.cancelRestart();
    if (this.isUp) return;
    const { scheduler, network, addresses, connectTimeoutMs } = this.surroundings;
    network.setDark(this.host, false);
    const process = new VirtualProcess(this.host, scheduler, this.newRandom());
    this.process = process;
    const runtime: Runtime = {
      clock: process.clock,
      random: process.random,
      folder: this.disk.open(process),
      messenger: new VirtualMessenger(
        network,
        addresses,
        process,
        this.messageAddress,
        connectTimeoutMs,
      ),
    };
    this.launch(process, runtime, this.hasLostDisk);
    this.hasLostDisk = false;
  }

  /** Ends the process without warning. */
  kill(): void {
    this.cancelRestart();
    if (!this.isUp) return;
    this.beforeKill();
    this.process?.kill();
    this.disk.crash();
  }

  /** Takes the machine's power away until it starts: unlike a dead process, it refuses no connection. */
  losePower(): void {
    this.kill();
    this.surroundings.network.setDark(this.host, true);
  }

  /** Ends the process and loses its data folder. */
  loseDisk(): void {
    this.kill();
    this.disk.lose();
    this.hasLostDisk = true;
  }

  /** Makes the disk take no more bytes; returns what frees it. */
  fillDisk(): () => void {
    this.disk.isFull = true;
    return () => (this.disk.isFull = false);
  }

  /** Makes writes to the disk fail, and power losses reorder what is unsynced; returns what ends the failures. */
  failDisk(failures: DiskFailures): () => void {
    this.disk.reordersPages = true;
    this.disk.failures = failures;
    return () => (this.disk.failures = undefined);
  }

  /** Freezes the process; returns what thaws it. */
  freeze(): () => void {
    const process = this.process;
    process?.freeze();
    return () => process?.thaw();
  }

  /** Creates the core objects and starts them. */
  protected abstract launch(process: VirtualProcess, runtime: Runtime, lostDisk: boolean): void;

  /**
   * Takes the failure of a start. If the disk refuses writes, the process ends, and its supervisor starts it again until they
   * succeed; any other failure ends the simulation.
   */
  protected endStart(process: VirtualProcess, failure: unknown): void {
    if (!(failure instanceof DiskError)) throw failure;
    if (this.process !== process || !process.alive) return;
    this.kill();
    const { scheduler } = this.surroundings;
    this.restart = scheduler.schedule(OWN_END_RESTART_MS, () => this.start());
  }

  /** Called before the process is killed. */
  protected beforeKill(): void {
    // Nothing to note by default.
  }

  private cancelRestart(): void {
    if (this.restart) this.surroundings.scheduler.cancel(this.restart);
    this.restart = undefined;
  }

  protected newRandom(): SeededRandom {
    return new SeededRandom(this.surroundings.random.integer(0, MAXIMUM_SEED));
  }
}

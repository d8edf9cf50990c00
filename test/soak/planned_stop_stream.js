/** Planned stops of proxies in series: of one, or of all in a zone. */
import { FaultStream } from './fault_stream.js';

export class PlannedStopStream extends FaultStream {
  get actions() {
    return [() => this.stopZone(), () => this.stopAndStart(this.proxyName())];
  }
}

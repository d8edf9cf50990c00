/** A site of `review/` whose instances take their time with every statement of a client. */
import { Site } from '../../review/site.js';
import { InstancePace } from './instance_pace.js';

export class SlowSite extends Site {
  constructor(record, cleanUp, plan, seed) {
    super(record, cleanUp, plan);
    this.pace = new InstancePace(seed);
  }

  addInstance(service, id, role) {
    return this.pace.applyTo(super.addInstance(service, id, role));
  }
}

import {Buffer} from 'node:buffer';
import {setImmediate as turn} from 'node:timers/promises';
import {expect} from 'chai';
import {PieceJoiner} from '../../src/base/piece-joiner.js';

/** A message whose pieces the test pushes. */
class Message {
	received: string[] = [];
	isReading = true;
	readonly joiner = PieceJoiner.create({
		onBytes: bytes => {
			this.received.push(Buffer.from(bytes).toString());
		},
		stopReading: () => {
			this.isReading = false;
		},
		startReading: () => {
			this.isReading = true;
		},
	});

	push(text: string, count = 1): void {
		for (let index = 0; index < count; index += 1) {
			this.joiner.push(Buffer.from(text));
		}
	}
}

// Guards against work for each chunk behind the parser, and against turns of the event loop that one peer makes long.
describe('piece joiner', () => {
	let message: Message;

	beforeEach(() => {
		message = new Message();
	});

	it('passes on the pieces of a turn together', async () => {
		message.push('a', 10);
		expect(message.received).to.deep.equal([]);
		await turn();
		message.push('b');
		await turn();
		expect(message.received).to.deep.equal(['a'.repeat(10), 'b']);
	});

	it('passes on what it holds at the end of the message', () => {
		message.push('a', 2);
		message.joiner.flush();
		expect(message.received).to.deep.equal(['aa']);
	});

	it('holds back what arrives while paused, and passes it on in order', async () => {
		message.joiner.pause();
		expect(message.isReading).to.equal(false);
		message.push('a');
		await turn();
		message.push('b', 2);
		await turn();
		expect(message.received).to.deep.equal([]);
		message.joiner.resume();
		expect(message.received).to.deep.equal(['abb']);
		expect(message.isReading).to.equal(true);
	});

	it('lets one message of many pieces read on in each turn', async () => {
		const messages = Array.from({length: 5}, () => new Message());
		for (const each of messages) {
			each.push('a', 5000);
		}

		const readingCount = () => messages.filter(({isReading}) => isReading).length;
		const readingCounts: number[] = [];
		for (let count = 0; count < 8; count += 1) {
			await Promise.resolve(); // eslint-disable-line no-await-in-loop -- turn by turn
			readingCounts.push(readingCount());
			await turn(); // eslint-disable-line no-await-in-loop
		}

		expect(readingCounts[0]).to.equal(0);
		expect(readingCounts.at(-1)).to.equal(5);
		for (const [index, count] of readingCounts.slice(1).entries()) {
			expect(count - readingCounts[index]!).to.be.at.most(1);
		}

		expect(messages.every(({received}) => received.join('').length === 5000)).to.equal(true);
	});

	it('reads on after its turn only if it is not paused', async () => {
		message.push('a', 5000);
		await Promise.resolve();
		message.joiner.pause();
		await turn();
		await turn();
		expect(message.isReading).to.equal(false);
		message.joiner.resume();
		expect(message.isReading).to.equal(true);
	});

	it('passes on nothing after it was closed, and no longer keeps the connection from reading', async () => {
		message.push('a', 5000);
		message.joiner.pause();
		message.joiner.close();
		message.push('b');
		await turn();
		expect(message.received).to.deep.equal([]);
		expect(message.isReading).to.equal(true);
	});
});

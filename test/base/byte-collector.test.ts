import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import fc from 'fast-check';
import {ByteCollector, decodeText} from '../../src/base/byte-collector.js';

const MAX_BLOCK_BYTES = 262_144;

// Guards against memory that grows with the number of pieces of a message, or with the buffers that they are views of.
describe('byte collector', () => {
	it('returns the bytes of all pieces in order', () => {
		fc.assert(fc.property(fc.array(fc.uint8Array({maxLength: 3000}), {maxLength: 30}), pieces => {
			const collector = ByteCollector.create();
			for (const piece of pieces) {
				collector.add(piece);
			}

			expect(collector.length).to.equal(pieces.reduce((sum, {length}) => sum + length, 0));
			expect(collector.take()).to.deep.equal(new Uint8Array(Buffer.concat(pieces)));
			expect(collector.length).to.equal(0);
			expect(collector.heldBytes).to.equal(0);
		}));
	});

	it('holds few blocks, of at most twice the bytes and one block, whatever the size of the pieces', () => {
		const buffer = Buffer.alloc(65_536);
		fc.assert(fc.property(fc.integer({min: 1, max: 70}), fc.integer({min: 1, max: 200_000}), (pieceBytes, pieceCount) => {
			const collector = ByteCollector.create();
			for (let count = 0; count < pieceCount; count += 1) {
				collector.add(buffer.subarray(count % 1000, (count % 1000) + pieceBytes));
			}

			const {length} = collector;
			expect(length).to.equal(pieceBytes * pieceCount);
			expect(collector.heldBytes).to.be.at.most(Math.min(2 * length, length + MAX_BLOCK_BYTES) + 1024);
			expect(collector.blockCount).to.be.at.most(10 + (length / MAX_BLOCK_BYTES));
		}), {numRuns: 20});
	});

	it('retains no part of a network buffer', () => {
		const collector = ByteCollector.create();
		const buffer = Buffer.from('abc');
		collector.add(buffer.subarray(0, 2));
		buffer.fill('x');
		expect(decodeText(collector.take())).to.equal('ab');
	});
});

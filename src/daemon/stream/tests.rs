use futures::StreamExt;

use super::*;

// The task that streams a file may end early, for example when its host shuts down. The closed
// channel looks like the end of the body, and the caller would take a partial file for a whole one.
#[tokio::test]
async fn body_without_end_item_ends_with_an_error() {
    for (last, is_clean) in [(None, false), (Some(BodyItem::End), true)] {
        let (tx, rx) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        tx.send(BodyItem::Chunk(Bytes::from_static(b"show"))).await.expect("the receiver is open");
        if let Some(last) = last {
            tx.send(last).await.expect("the receiver is open");
        }
        drop(tx);
        let items: Vec<_> = FileBody { guard: (), is_finished: false, rx }.collect().await;
        assert_eq!(items.iter().all(Result::is_ok), is_clean, "{items:?}");
    }
}

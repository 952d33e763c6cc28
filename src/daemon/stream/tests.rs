use futures::StreamExt;

use super::*;

// The task that carries a file ends early, as when its host goes down. The end of its channel reads
// like the end of a body, and a dome would run a part of a show as if it were the whole.
#[tokio::test]
async fn a_body_without_its_last_word_ends_uncleanly() {
    for (last, is_clean) in [(None, false), (Some(BodyItem::End), true)] {
        let (tx, rx) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        tx.send(BodyItem::Chunk(Bytes::from_static(b"show"))).await.expect("the body is there");
        if let Some(last) = last {
            tx.send(last).await.expect("the body is there");
        }
        drop(tx);
        let items: Vec<_> = FileBody { guard: (), is_finished: false, rx }.collect().await;
        assert_eq!(items.iter().all(Result::is_ok), is_clean, "{items:?}");
    }
}
